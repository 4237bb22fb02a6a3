// Package explainer correlates the logs of several entries to explain why a call ended as
// it did. It collects all calls of the same request and the events logged around them:
// failures of endpoints and of the platform, and state changes at the entries. It reads
// lines of key=value pairs as the daemons write them, with or without a prefix.
//
//	e := explainer.New()
//	err := e.Read("entry-a-1", file)
//	report, err := e.Explain("9c41d07be2a35f68")
package explainer
