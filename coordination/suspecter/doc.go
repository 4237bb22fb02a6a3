// Package suspecter detects requests that crash the endpoint that runs them.
//
// When an endpoint dies, every request that ran there becomes a suspect, which
// an agent runs only alone. A request is refused, or convicted, after two
// consecutive deaths with no other request in common, or after three whatever
// else ran. A suspect that completes is cleared. Findings expire, and are small
// enough to be exchanged between daemons.
//
// A request is identified by a fingerprint that includes its client account, so
// that no account can cause the requests of another to be refused.
//
// Requests that are all different may crash endpoints by a part of their prompts that
// they share. Every answer that begins clears the parts of its prompt, for all accounts,
// and a death counts against the parts of the prompts that had no answer yet. A part is
// held back after one death, then tried by one request at a time, and convicted after two.
//
//	g := suspecter.NewGuard("agent-7", admitter, endpoint)
//	r := runner.New(g.Endpoint(), g)
//
// [Suspects] holds the findings and decides. [Guard] observes one endpoint and
// enforces the decisions at its agent. [CrashTracker] observes the runs of one entry at
// all endpoints, and what they tell of parts of prompts. [Relay] and [Picker] pass findings on and choose the agents for
// suspects.
package suspecter
