package event

// Events of membership, numbers 200 to 299.
var (
	// MemberJoined: an instance was added to the roster, returned to it, or restarted.
	MemberJoined = Kind{
		Number:  200,
		Name:    "member-joined",
		Meaning: "an instance became known",
	}
	// MemberSuspect: an instance did not answer probes.
	MemberSuspect = Kind{
		Number:  201,
		Name:    "member-suspect",
		Meaning: "an instance did not answer probes",
	}
	// MemberDead: an instance is considered dead.
	MemberDead = Kind{
		Number:  202,
		Name:    "member-dead",
		Meaning: "an instance is considered dead",
	}
	// MemberLeaving: an instance is leaving.
	MemberLeaving = Kind{
		Number:  203,
		Name:    "member-leaving",
		Meaning: "an instance is leaving",
	}
	// MemberLeft: an instance has left.
	MemberLeft = Kind{
		Number:  204,
		Name:    "member-left",
		Meaning: "an instance has left",
	}
	// MemberRefuted: this node refuted a suspicion about itself.
	MemberRefuted = Kind{
		Number:  205,
		Name:    "member-refuted",
		Meaning: "this node refuted a suspicion about itself",
	}
	// Registered: this node's row was written to the platform's table.
	Registered = Kind{
		Number:  206,
		Name:    "registered",
		Meaning: "this node's row was written to the platform's table",
	}
	// Superseded: a later process runs under this instance's id, so this one refuses new work.
	Superseded = Kind{
		Number:  207,
		Name:    "superseded",
		Meaning: "a later process runs under this instance's id, so this one refuses new work",
	}
)

var rosterKinds = []Kind{
	MemberJoined,
	MemberSuspect,
	MemberDead,
	MemberLeaving,
	MemberLeft,
	MemberRefuted,
	Registered,
	Superseded,
}
