package cacheview

// Bounds and gain of the estimate, in milliseconds.
const (
	initialLifeMS = 30_000
	minLifeMS     = 250
	maxLifeMS     = 600_000
	growOnHit     = 0.05
	shrinkOnMiss  = 0.25
)

// lifetime estimates how long a target keeps a prefix that nobody uses, from
// answers that confirmed or refuted a belief of known age. A hit at an age near
// or past the estimate lengthens it, a miss below it shortens it.
type lifetime struct{ ms float32 }

func newLifetime() lifetime { return lifetime{ms: initialLifeMS} }

func (l *lifetime) observe(ageMS uint32, hit bool) {
	age := float32(ageMS)
	switch {
	case hit && age > l.ms/2:
		l.ms += growOnHit * (2*age - l.ms + l.ms/2)
	case !hit && age < l.ms*2:
		l.ms += shrinkOnMiss * (age - l.ms)
	}
	l.ms = min(max(l.ms, minLifeMS), maxLifeMS)
}

// trust is the chance that a belief of this age still holds: certain while it is
// young, a half at the estimated lifetime, falling off after.
func (l *lifetime) trust(ageMS uint32) float32 {
	r := float32(ageMS) / l.ms
	return 1 / (1 + r*r)
}
