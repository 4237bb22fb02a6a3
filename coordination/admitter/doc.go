// Package admitter implements admission control for the endpoint of an agent.
//
// A request reserves the KV cache tokens of its prompt and its longest answer.
// The reservations never exceed the endpoint's limit, which starts low in cold
// start and grows as requests finish. Requests that do not fit wait in a queue
// that is fair between client accounts. A request that is predicted to start
// too late is refused at once.
//
//	a := admitter.New("agent-7", 1, admitter.WithZone("zone-a"))
//	grant, err := a.Admit(ctx, request)
//	if err != nil {
//		return err // a *banyanplank.Refusal
//	}
//	defer grant.Release(true)
//
// Plain services are admitted in the same way: a request without a demand
// reserves one slot, and the endpoint reports its capacity in slots.
package admitter
