package event

// Events of requests and calls, numbers 500 to 599.
var (
	// RequestAccepted: a customer's request was accepted.
	RequestAccepted = Kind{
		Number:  500,
		Name:    "request-accepted",
		Meaning: "a customer's request was accepted",
	}
	// RequestRefused: a customer's request was refused at entry.
	RequestRefused = Kind{
		Number:  501,
		Name:    "request-refused",
		Meaning: "a customer's request was refused at entry",
	}
	// RequestEnded: a customer's request ended.
	RequestEnded = Kind{
		Number:  502,
		Name:    "request-ended",
		Meaning: "a customer's request ended",
	}
	// CallSent: a call was sent to an instance.
	CallSent = Kind{
		Number:  503,
		Name:    "call-sent",
		Meaning: "a call was sent to an instance",
	}
	// CallRun: a call was sent to the backend server.
	CallRun = Kind{
		Number:  505,
		Name:    "call-run",
		Meaning: "a call was sent to the backend server",
	}
	// CallEnded: the backend server's part of a call ended.
	CallEnded = Kind{
		Number:  506,
		Name:    "call-ended",
		Meaning: "the backend server's part of a call ended",
	}
	// CallRetried: a call was sent again.
	CallRetried = Kind{
		Number:  507,
		Name:    "call-retried",
		Meaning: "a call was sent again",
	}
	// RetryExhausted: a call was not sent again because no retry token was left.
	RetryExhausted = Kind{
		Number:  508,
		Name:    "retry-exhausted",
		Meaning: "a call was not sent again because no retry token was left",
	}
	// RepeatRefused: a call that the application repeated was refused.
	RepeatRefused = Kind{
		Number:  509,
		Name:    "repeat-refused",
		Meaning: "an application's repeat of a call was refused",
	}
	// CallNotServed: a call has no answer from the backend server.
	CallNotServed = Kind{
		Number:  510,
		Name:    "call-not-served",
		Meaning: "a call has no answer of the backend server",
	}
	// CallFailed: a request forwarded to an instance has no answer from it.
	CallFailed = Kind{
		Number:  511,
		Name:    "call-failed",
		Meaning: "a request forwarded to an instance has no answer from it",
	}
	// ResponseCutOff: a long response was not written completely.
	ResponseCutOff = Kind{
		Number:  512,
		Name:    "response-cut-off",
		Meaning: "a response was not written completely to its client",
	}
)

var callKinds = []Kind{
	RequestAccepted,
	RequestRefused,
	RequestEnded,
	CallSent,
	CallRun,
	CallEnded,
	CallRetried,
	RetryExhausted,
	RepeatRefused,
	CallNotServed,
	CallFailed,
	ResponseCutOff,
}
