// Command rig plays the scripts of the second review. It starts the project's own entry
// and agent as separate processes on loopback addresses, plays clients, servers and the
// platform's store itself, and checks one rule. What the platform's pages name stands in
// names.json.
package main
