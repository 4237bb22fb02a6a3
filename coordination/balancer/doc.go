// Package balancer shares the endpoints of a service between the entries that
// call them directly. It chooses the endpoint for each call, makes calls wait
// or refuses them when all endpoints are busy, keeps to the rate of endpoints in
// cold start, leaves out those that fail, and bounds repeats.
//
//	lease, err := b.Acquire(ctx, balancer.Query{Service: "chat", Prompt: 800})
//	...
//	lease.Finish(balancer.Result{Kind: balancer.Served})
//
// No entry sees all calls. Each counts its own, and adds what its peers said
// that they have in flight.
package balancer
