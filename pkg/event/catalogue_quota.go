package event

// Events of customer limits, numbers 900 to 999.
var (
	// QuotaExceeded: a customer requested more work than its contract allows.
	QuotaExceeded = Kind{
		Number:  900,
		Name:    "quota-exceeded",
		Meaning: "a customer asked for more work than its contract allows",
	}
	// QuotaFloor: the share holder did not answer, so the minimum share applies.
	QuotaFloor = Kind{
		Number:  901,
		Name:    "quota-floor",
		Meaning: "the share holder did not answer and the floor applies",
	}
	// QuotaShare: a new share came into force.
	QuotaShare = Kind{
		Number:  902,
		Name:    "quota-share",
		Meaning: "a new share came into force",
	}
	// CustomerLimited: requests of a customer were refused by its rate over all nodes.
	CustomerLimited = Kind{
		Number:  903,
		Name:    "customer-limited",
		Meaning: "a request of a customer got no token of its rate",
	}
	// KeeperFailed: the keeper of a group of customers can't be reached.
	KeeperFailed = Kind{
		Number:  904,
		Name:    "keeper-failed",
		Meaning: "the node that keeps the accounts of a group of customers can't be reached",
	}
)

var quotaKinds = []Kind{
	QuotaExceeded,
	QuotaFloor,
	QuotaShare,
	CustomerLimited,
	KeeperFailed,
}
