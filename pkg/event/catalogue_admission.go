package event

// Events of admission, numbers 400 to 499.
var (
	// OverloadBegan: the admission threshold rose above zero.
	OverloadBegan = Kind{
		Number:  400,
		Name:    "overload-began",
		Meaning: "the admission threshold rose above zero",
	}
	// OverloadEnded: the admission threshold returned to zero.
	OverloadEnded = Kind{
		Number:  401,
		Name:    "overload-ended",
		Meaning: "the admission threshold returned to zero",
	}
	// CallShed: a call was refused by the threshold or a full queue.
	CallShed = Kind{
		Number:  402,
		Name:    "call-shed",
		Meaning: "a call was refused by the threshold or a full queue",
	}
	// CallExpired: a queued call could no longer meet its deadline.
	CallExpired = Kind{
		Number:  403,
		Name:    "call-expired",
		Meaning: "a queued call could no longer meet its deadline",
	}
	// CallPreempted: a running call was cancelled for more important work.
	CallPreempted = Kind{
		Number:  404,
		Name:    "call-preempted",
		Meaning: "a running call was cancelled for more important work",
	}
	// LimitChanged: the concurrency limit changed.
	LimitChanged = Kind{
		Number:  405,
		Name:    "limit-changed",
		Meaning: "the concurrency limit changed",
	}
	// CircuitOpened: writes of a class are refused, because their runs fail downstream.
	CircuitOpened = Kind{
		Number:  406,
		Name:    "circuit-opened",
		Meaning: "writes of a class are refused, because their runs fail downstream",
	}
	// CircuitClosed: writes of a class are no longer refused.
	CircuitClosed = Kind{
		Number:  407,
		Name:    "circuit-closed",
		Meaning: "writes of a class are no longer refused",
	}
	// ServerLimitChanged: the backend server named another limit of requests a second, or none.
	ServerLimitChanged = Kind{
		Number:  408,
		Name:    "server-limit-changed",
		Meaning: "the backend server named another limit of requests a second, or none",
	}
)

var admissionKinds = []Kind{
	OverloadBegan,
	OverloadEnded,
	CallShed,
	CallExpired,
	CallPreempted,
	LimitChanged,
	CircuitOpened,
	CircuitClosed,
	ServerLimitChanged,
}
