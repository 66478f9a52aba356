// Package draw draws the loads of plays in virtual time.
package draw

import (
	"math"
	"math/rand/v2"
)

// Poisson returns how many of calls that come by chance come in a time in which so many come
// on average. It is meant for small means: it takes as many draws as calls come.
func Poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}
