// Package server serves HTTP to clients that may send anything. It bounds the number of
// connections of a process, and the memory for what clients have sent of requests that
// are not answered yet. If there is no room, it closes the connections that have taken
// longest to send a request, so that a client that sends its request at once is served
// however many others don't.
package server
