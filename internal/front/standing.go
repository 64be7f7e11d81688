package front

import (
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// standing returns the weight and the priority of a request with profile. customer is nil if the configuration
// does not have the caller's customer.
func (s *Server) standing(profile *fleet.Profile, customer *fleet.Customer) (weight, priority int) {
	weight = 1
	if customer != nil {
		weight = max(1, customer.Weight)
	}
	if s.options.Priorities {
		priority = request.PriorityOf(profile, customer)
	}
	return weight, priority
}
