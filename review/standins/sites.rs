//! Configurations of small deployments, with the settings that the sites' files and the wire's page give.

use crate::common::service;

/// What differs between runs of one site.
pub struct Site {
    pub settings: String,
}

/// The example of the wire's page, for one front.
pub fn brno() -> Site {
    let services = [
        service("thumb-lookup", "pure", "all", 300.0, 1000.0, 0.0, 1.0, 5000.0),
        service("catalogue-read", "pure", "all", 400.0, 1500.0, 0.2, 1.0, 5000.0),
        service("render-commit", "token", "cell", 600.0, 2000.0, 0.3, 6.0, 2000.0),
    ]
    .join(",");
    Site {
        settings: format!(
            r#"{{"Balancers":1,"Me":0,"Zone":0,"Zones":["a"],"Discovery":"pushed","Services":[{services}],
"Bounds":{{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"MaxRetryAfter":500.0,"MayProbe":true,"Peers":false,"RetryAfter":true,"SecondCopies":false,"TryLimit":10}},
"Guarantees":{{"ColdFrom":0.17,"GraceToAnswer":20.0,"OverloadFor":1500.0,"StopSendingWithin":1000.0,"TipMultiple":2.5,"WarmUp":14000.0}},
"LoadInfo":{{"Fields":["x0","x1","q","busy"],"Via":"on_probe"}},
"Specifics":{{"ListRole":"initial","MaxAge":[300.0,0.0,0.0],"ReadLevel":["recent","loose","update"],"ServerChecks":"off","SessionMarks":"client","Sync":false,"TellsPosition":false}}}}"#
        ),
    }
}

/// deploy/sites/oaxaca-orders.toml, for one front.
pub fn oaxaca() -> Site {
    let services = [
        service("charge", "side_effect", "all", 500.0, 1600.0, 0.2, 6.0, 5000.0),
        service("basket-put", "token", "cell", 900.0, 3000.0, 0.4, 3.0, 2500.0),
        service("shelf", "pure", "all", 400.0, 1200.0, 0.0, 1.0, 5000.0),
        service("my-basket", "pure", "all", 700.0, 2000.0, 0.3, 2.0, 5000.0),
        service("report", "pure", "all", 1500.0, 4000.0, 0.5, 1.0, 5000.0),
    ]
    .join(",");
    Site {
        settings: format!(
            r#"{{"Balancers":1,"Me":0,"Zone":0,"Zones":["a"],"Discovery":"pushed","Services":[{services}],
"Bounds":{{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"MaxRetryAfter":1000.0,"MayProbe":true,"Peers":false,"RetryAfter":false,"SecondCopies":false,"TryLimit":8}},
"Guarantees":{{"ColdFrom":0.25,"GoneIsAdvice":true,"GraceToAnswer":20.0,"OverloadFor":1500.0,"StopSendingWithin":100.0,"TipMultiple":2.5,"WarmUp":16000.0}},
"LoadInfo":{{"Fields":["q","x1","x0","rate"],"Via":"on_probe"}},
"Specifics":{{"ListRole":"delayed","MaxAge":[0.0,0.0,250.0,0.0,0.0],"ReadLevel":["update","update","recent","own_writes","latest"],"ServerChecks":"off","SessionMarks":"router","Sync":false,"TellsPosition":true}}}}"#
        ),
    }
}

/// addis-ledger.toml, for one front.
pub fn addis() -> Site {
    let services = [
        service("price-look", "pure", "all", 400.0, 1000.0, 0.0, 3.0, 5000.0),
        service("sale-post", "side_effect", "all", 500.0, 2000.0, 0.3, 4.0, 5000.0),
    ]
    .join(",");
    Site {
        settings: format!(
            r#"{{"Balancers":1,"Me":0,"Zone":0,"Zones":["a"],"Discovery":"on_request","Services":[{services}],
"Bounds":{{"Cancel":true,"ConnIdle":30000.0,"ConnectTimeout":250.0,"MaxRetryAfter":0.0,"MayProbe":true,"Peers":false,"RetryAfter":false,"SecondCopies":true,"TryLimit":8}},
"Guarantees":{{"ColdFrom":0.19,"GoneIsAdvice":true,"GraceToAnswer":20.0,"OverloadFor":3000.0,"StopSendingWithin":500.0,"TipMultiple":2.5,"WarmUp":18000.0}},
"LoadInfo":{{"Fields":["x0","x1"],"Via":"on_probe"}},
"Specifics":{{"ListRole":"initial","MaxAge":[1500.0,0.0],"Patience":50.0,"ReadLevel":["recent","update"],"ServerChecks":"hold","SessionMarks":"client","Sync":false,"TellsPosition":true}}}}"#
        ),
    }
}

impl Site {
    /// The configuration file.
    pub fn config(&self, discovery: &str, known: &str) -> String {
        format!(
            r#"{{"name":"n0","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{}}}"#,
            self.settings
        )
    }
}
