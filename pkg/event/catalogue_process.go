package event

// Events of the process, numbers 100 to 199.
var (
	// NodeStarted: the node process started.
	NodeStarted = Kind{
		Number:  100,
		Name:    "node-started",
		Meaning: "the node process started",
	}
	// ListenerOpenToAll: a listener accepts connections on all addresses.
	ListenerOpenToAll = Kind{
		Number:  101,
		Name:    "listener-open-to-all",
		Meaning: "a listener accepts connections on all addresses",
	}
	// NodeReady: the node accepts work.
	NodeReady = Kind{
		Number:  102,
		Name:    "node-ready",
		Meaning: "the node accepts work",
	}
	// NodeStopping: a graceful stop began.
	NodeStopping = Kind{
		Number:  103,
		Name:    "node-stopping",
		Meaning: "a graceful stop began",
	}
	// NodeStopped: the node stopped after all calls in flight had ended.
	NodeStopped = Kind{
		Number:  104,
		Name:    "node-stopped",
		Meaning: "the node stopped after all calls in flight had ended",
	}
	// StopTimeout: the timeout of a graceful stop passed with calls in flight.
	StopTimeout = Kind{
		Number:  105,
		Name:    "stop-timeout",
		Meaning: "the bound on a graceful stop passed with calls in flight",
	}
	// BackendUp: the backend server answers.
	BackendUp = Kind{
		Number:  106,
		Name:    "backend-up",
		Meaning: "the backend server answers",
	}
	// BackendDown: the backend server does not answer.
	BackendDown = Kind{
		Number:  107,
		Name:    "backend-down",
		Meaning: "the backend server does not answer",
	}
)

var processKinds = []Kind{
	NodeStarted,
	ListenerOpenToAll,
	NodeReady,
	NodeStopping,
	NodeStopped,
	StopTimeout,
	BackendUp,
	BackendDown,
}
