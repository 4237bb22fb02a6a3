// Package picker chooses the endpoint for each request at an entry. Of a few
// sampled candidates it takes the one with the lowest predicted time to the first
// token.
//
// The prediction adds the queueing time, the prefill time of the part of the
// prompt that is not cached, the delay between zones, and the time to load a
// missing model or adapter. Load reports arrive with answers. The entry counts its
// own requests immediately.
//
//	p := picker.New("entry-1", rand.New(rand.NewPCG(seed, 0)))
//	p.Reconfigure(now, members, configuration)
//	choice, err := p.Pick(now, query)
//	if err != nil {
//		return err // a *banyanplank.Refusal
//	}
//	defer p.Finish(time.Now(), choice, result)
//
// Requests to plain services have zero demand and are picked in the same way.
package picker
