package chain

const (
	// classUtilizationStep is how much lower the KV utilization from which on the
	// cost of an engine rises is for each class below the most urgent one. An engine
	// that runs out of KV cache evicts its newest request, whatever its class.
	classUtilizationStep = 0.05
	// minHighUtilization is the lowest such utilization of any class.
	minHighUtilization = 0.7
)

// highKVUtilization returns the utilization of an engine's KV cache, 0 to 1, from
// which on its cost rises for the request. A request that already runs has a KV
// cache elsewhere that a move would cost, so its class doesn't count.
func (r Request) highKVUtilization() float64 {
	if r.OutputStarted || r.PinnedFirst != nil {
		return highUtilization
	}
	return max(highUtilization-classUtilizationStep*float64(max(r.ClassSteps, 0)), minHighUtilization)
}
