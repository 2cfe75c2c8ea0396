package event

// Events of contracts, numbers 300 to 399.
var (
	// ContractAccepted: a contract change took effect in the platform's table.
	ContractAccepted = Kind{
		Number:  300,
		Name:    "contract-accepted",
		Meaning: "a contract change took effect in the platform's table",
	}
	// ContractInForce: a contract version came into force on this node.
	ContractInForce = Kind{
		Number:  301,
		Name:    "contract-in-force",
		Meaning: "a contract version came into force on this node",
	}
	// ContractConflict: a contract change was refused because the version had changed.
	ContractConflict = Kind{
		Number:  302,
		Name:    "contract-conflict",
		Meaning: "a contract change lost a race",
	}
	// ContractsLoaded: the contract table was read from the platform.
	ContractsLoaded = Kind{
		Number:  303,
		Name:    "contracts-loaded",
		Meaning: "the contract table was read from the platform",
	}
	// ContractsStale: no confirmed contract revision was received for too long.
	ContractsStale = Kind{
		Number:  304,
		Name:    "contracts-stale",
		Meaning: "no confirmed contract revision was heard of for too long",
	}
)

var contractKinds = []Kind{
	ContractAccepted,
	ContractInForce,
	ContractConflict,
	ContractsLoaded,
	ContractsStale,
}
