package control

import "math"

// weightRanks are the weights of the latest arrivals.
type weightRanks struct {
	weights [64]float64 // a ring: some seconds of traffic
	count   int         // arrivals so far
}

// rank adds a weight. It returns the part of the latest arrivals that weigh less, equals counting half, and the weight
// over their mean.
func (k *weightRanks) rank(weight float64) (rank, relativeWeight float64) {
	const minSum = 1e-9 // keeps the quotient finite if nothing has a weight
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
