// Package admitter decides at an agent which requests its endpoint may run.
//
// A request reserves the tokens of KV cache that it holds at its longest. The
// reservations never exceed the endpoint's limit, which starts low in cold
// start and grows with finished work. Requests that do not fit wait in a
// queue that is fair between client accounts, or are refused at once when they
// could not start in time.
//
//	a := admitter.New("agent-7", 1, admitter.WithZone("zone-a"))
//	grant, err := a.Admit(ctx, request)
//	if err != nil {
//		return err // a *banyanplank.Refusal
//	}
//	defer grant.Release(true)
//
// Plain services use the same code: a request without a demand reserves one
// slot, and the endpoint reports its capacity in slots.
package admitter
