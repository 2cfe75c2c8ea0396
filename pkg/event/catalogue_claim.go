package event

// Events of idempotency claims, numbers 600 to 699.
var (
	// ClaimTaken: an idempotency key was claimed.
	ClaimTaken = Kind{
		Number:  600,
		Name:    "claim-taken",
		Meaning: "an idempotency key was claimed",
	}
	// ClaimCompleted: a claimed request was completed.
	ClaimCompleted = Kind{
		Number:  601,
		Name:    "claim-completed",
		Meaning: "a claimed request was completed",
	}
	// ClaimVoided: the attempt of a claim was recorded as not run.
	ClaimVoided = Kind{
		Number:  602,
		Name:    "claim-voided",
		Meaning: "a claim was declared not run",
	}
	// ClaimRepeated: a repeated request was answered with the stored answer.
	ClaimRepeated = Kind{
		Number:  603,
		Name:    "claim-repeated",
		Meaning: "a kept answer was given again",
	}
	// ClaimRefused: a claim was refused because another attempt holds the key.
	ClaimRefused = Kind{
		Number:  604,
		Name:    "claim-refused",
		Meaning: "a claim was refused because another attempt holds the key",
	}
	// ClaimUnknown: the outcome of a claimed request is unknown.
	ClaimUnknown = Kind{
		Number:  605,
		Name:    "claim-unknown",
		Meaning: "the outcome of a claimed request is unknown",
	}
	// ClaimSettled: an operator settled a claim.
	ClaimSettled = Kind{
		Number:  606,
		Name:    "claim-settled",
		Meaning: "an operator settled a claim",
	}
)

var claimKinds = []Kind{
	ClaimTaken,
	ClaimCompleted,
	ClaimVoided,
	ClaimRepeated,
	ClaimRefused,
	ClaimUnknown,
	ClaimSettled,
}
