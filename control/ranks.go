package control

import "math"

// weightRanks ranks weights among those of the latest arrivals.
type weightRanks struct {
	weights [64]float64 // ring buffer, a few seconds of traffic
	count   int         // number of arrivals so far
}

// rank adds the weight of an arrival. It returns the fraction of the latest arrivals that have less weight, where equal
// weights count half, and the ratio of the weight to their mean.
func (k *weightRanks) rank(weight float64) (rank, relativeWeight float64) {
	const minSum = 1e-9 // keeps the ratio finite if all weights are zero
	k.weights[k.count%len(k.weights)] = weight
	k.count++
	latest := k.weights[:min(k.count, len(k.weights))]
	below := 0.0
	sum := 0.0
	for _, other := range latest {
		sum += other
		if other < weight {
			below++
		} else if other == weight {
			below += 0.5
		}
	}
	n := float64(len(latest))
	return below / n, weight * n / math.Max(sum, minSum)
}
