package event

// Catalogue returns all kinds of events in the order of their numbers.
func Catalogue() []Kind {
	groups := [][]Kind{
		processKinds,
		rosterKinds,
		contractKinds,
		admissionKinds,
		callKinds,
		claimKinds,
		platformKinds,
		peerKinds,
		quotaKinds,
		configurationKinds,
	}
	var all []Kind
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}
