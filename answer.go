package banyanplank

// Part is one piece of an answer. For a streamed model answer it is the data
// of one server-sent event; for a plain answer it is a piece of the body.
type Part struct {
	// Offset counts the parts before this one.
	Offset uint64
	Data   []byte
}

// Head opens an answer.
type Head struct {
	// Status is the HTTP status of the endpoint.
	Status int
	// Type is the content type.
	Type string
}

// End closes a whole answer. An answer without one was cut.
type End struct {
	// Parts is the number of parts in the whole answer.
	Parts uint64
}
