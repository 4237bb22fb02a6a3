// Package balancer balances calls over the endpoints of a service when several
// entries send to them directly. It chooses the endpoint of each call, queues or
// refuses calls when all endpoints are busy, limits the rate of endpoints in cold
// start and of those that name a limit, ejects endpoints that fail, and enforces a retry budget.
//
//	lease, err := b.Acquire(ctx, balancer.Query{Service: "chat", PromptTokens: 800})
//	...
//	lease.Finish(balancer.Result{Kind: balancer.Served})
//
// No entry sees all calls. Each one adds the calls in flight that its peers report
// to its own.
package balancer
