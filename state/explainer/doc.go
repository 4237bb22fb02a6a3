// Package explainer finds in the log lines of many entries why a call ended as it did:
// all calls that were the same request, what endpoints and the platform did meanwhile, and
// what the entries believed. It reads lines of key=value pairs as the daemons write them,
// with or without words before them.
//
//	e := explainer.New()
//	err := e.Read("entry-a-1", file)
//	report, err := e.Explain("9c41d07be2a35f68")
package explainer
