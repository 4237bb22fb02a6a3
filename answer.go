package banyanplank

// Part is one piece of an answer. For a streamed model answer it is the data
// of one server-sent event; for a plain answer it is a piece of the body.
type Part struct {
	// Offset is the number of parts before this one.
	Offset uint64
	Data   []byte
}

// Head is the start of an answer.
type Head struct {
	// Status is the HTTP status code that the endpoint returned.
	Status int
	// Type is the value of the Content-Type header field.
	Type string
}

// End marks the end of a complete answer. An answer without it was cut off.
type End struct {
	// Parts is the number of parts in the complete answer.
	Parts uint64
}
