package event

// Events of the configuration and of the backend server's state, numbers 1000 to 1099.
var (
	// ConfigurationInForce: a configuration came into force.
	ConfigurationInForce = Kind{
		Number:  1000,
		Name:    "configuration-in-force",
		Meaning: "a configuration was put in force",
	}
	// ConfigurationRefused: a configuration was refused as a whole.
	ConfigurationRefused = Kind{
		Number:  1001,
		Name:    "configuration-refused",
		Meaning: "a configuration was refused as a whole",
	}
)

var configurationKinds = []Kind{
	ConfigurationInForce,
	ConfigurationRefused,
}
