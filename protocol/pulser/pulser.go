// Package pulser is the form in which the entries of a system exchange heartbeats.
package pulser

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative protocol/pulser/pulser.proto"
