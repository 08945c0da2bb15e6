package routing

import (
	"slices"

	"mimosaarch.example/core/ids"
)

// prioritiesByService returns the distinct priorities that requests of each service
// can have, ascending: those of its routes and of the accounts that may use them.
func prioritiesByService(c *Config) map[ids.Service][]int {
	all := make(map[ids.Service][]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		priorities := r.priorities(c.Accounts)
		for _, s := range r.Splits {
			all[s.Service] = append(all[s.Service], priorities...)
		}
	}
	for service, priorities := range all {
		slices.Sort(priorities)
		all[service] = slices.Compact(priorities)
	}
	return all
}

// priorities returns the priorities that requests of the route can have.
func (r *Route) priorities(accounts []Account) []int {
	if r.AuthExempt || len(accounts) == 0 {
		return []int{r.Priority}
	}
	var out []int
	for i := range accounts {
		if p := r.PriorityOf(&accounts[i]); !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// Classes returns the number of classes of a service: the distinct priorities that
// its requests can have. It is at least 1.
func (t *Table) Classes(service ids.Service) int { return max(len(t.priorities[service]), 1) }

// ClassSteps returns how many classes of a service are more urgent than a priority:
// 0 for the most urgent class, and for all requests of a service with one class.
func (t *Table) ClassSteps(service ids.Service, priority int) int {
	steps, _ := slices.BinarySearch(t.priorities[service], priority)
	return steps
}
