// Package draw draws random arrivals for simulations in virtual time.
package draw

import (
	"math"
	"math/rand/v2"
)

// Poisson returns a Poisson-distributed number of arrivals with the given mean. It suits
// small means, since it takes one random number per arrival.
func Poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}
