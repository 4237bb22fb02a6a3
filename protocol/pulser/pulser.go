// Package pulser defines the heartbeat message that the entries of a system
// exchange.
package pulser

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative protocol/pulser/pulser.proto"
