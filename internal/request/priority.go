package request

import "crocusyoke/internal/fleet"

// PriorityStep is the difference between the priorities of requests whose profiles' priorities differ by
// one. Customers' priorities from PriorityStep-1 on count alike.
const PriorityStep = 1000

// maxProfilePriority is the highest priority of a profile that is told apart from higher ones.
const maxProfilePriority = 1 << 20

// PriorityOf returns the Priority of a request with profile and customer, which may be nil. The profile's
// priority counts first, the customer's among requests of equal profiles.
func PriorityOf(profile *fleet.Profile, customer *fleet.Customer) int {
	priority := min(max(0, profile.Priority), maxProfilePriority) * PriorityStep
	if customer != nil {
		priority += min(max(0, customer.Priority), PriorityStep-1)
	}
	return priority
}

// Rank returns the priority of the profile of a request with the given Priority.
func Rank(priority int) int { return priority / PriorityStep }
