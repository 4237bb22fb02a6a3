// Package suspecter recognizes requests that crash the endpoint that runs them.
//
// When an endpoint dies, every request that ran there becomes a suspect. A
// suspect runs only alone. One that is found at a second death is refused, and
// one that ends well is cleared. Findings expire, and are small enough to be
// passed between daemons.
//
// A request is known by a fingerprint that includes its client account, so no
// account can have another's requests refused.
//
//	g := suspecter.NewGuard("agent-7", admitter, endpoint)
//	r := runner.New(g.Endpoint(), g)
//
// [Suspects] decides, [Guard] observes one endpoint and enforces.
package suspecter
