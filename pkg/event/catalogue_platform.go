package event

// Events of the platform, numbers 700 to 799.
var (
	// PlatformDown: the platform's table does not answer.
	PlatformDown = Kind{
		Number:  700,
		Name:    "platform-down",
		Meaning: "the platform's table does not answer",
	}
	// PlatformUp: the platform's table answers again.
	PlatformUp = Kind{
		Number:  701,
		Name:    "platform-up",
		Meaning: "the platform's table answers again",
	}
	// StoreRestored: the platform's store came back from an older copy.
	StoreRestored = Kind{
		Number:  702,
		Name:    "store-restored",
		Meaning: "the platform's store came back from an older copy",
	}
)

var platformKinds = []Kind{
	PlatformDown,
	PlatformUp,
	StoreRestored,
}
