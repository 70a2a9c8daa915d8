package policytest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// quantile returns the q-quantile of a list, zero for an empty one.
func quantile[T cmp.Ordered](list []T, q float64) T {
	if len(list) == 0 {
		var zero T
		return zero
	}
	sorted := slices.Sorted(slices.Values(list))
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}

// Median returns the middle value of a list.
func Median[T cmp.Ordered](list []T) T { return quantile(list, 0.5) }

// exponential draws a time with a mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// lognormal draws a time with a mean and the deviation sigma of its logarithm.
func lognormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// newRand returns the random source of a seed.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5eed)) }
