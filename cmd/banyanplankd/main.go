// Command banyanplankd is the daemon, as an entry or as an agent.
package main

func main() {}
