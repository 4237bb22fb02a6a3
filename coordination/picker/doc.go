// Package picker chooses at an entry the endpoint for each request: of a few
// candidates the one with the least predicted time to the first token.
//
// The prediction adds the queue there, the prefill that the cached prefix does
// not cover, the distance between zones, and what is not loaded yet. Load
// comes back on answers; the entry's own requests count at once.
//
//	p := picker.New("entry-1", rand.New(rand.NewPCG(seed, 0)))
//	p.Renew(now, members, configuration)
//	choice, err := p.Pick(now, query)
//	if err != nil {
//		return err // a *banyanplank.Refusal
//	}
//	defer p.Finish(time.Now(), choice, result)
//
// Plain services are picked by the same code with a demand of zero.
package picker
