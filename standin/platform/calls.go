package platform

// Method is a kind of call to the platform.
type Method string

// Methods with a counter in [CallCounts].
const (
	MethodGet       Method = "get"
	MethodPut       Method = "put"
	MethodDelete    Method = "delete"
	MethodList      Method = "list"
	MethodWatch     Method = "watch"
	MethodInstances Method = "instances"
)

// CallCounts holds the number of calls per method. A watch counts as one call
// however long it waits.
type CallCounts struct {
	Get       int `json:"get"`
	Put       int `json:"put"`
	Delete    int `json:"delete"`
	List      int `json:"list"`
	Watch     int `json:"watch"`
	Instances int `json:"instances"`
}

// Reads returns the number of read-only calls.
func (c CallCounts) Reads() (count int) {
	return c.Get + c.List + c.Watch + c.Instances
}

// Writes returns the number of calls that may change an object.
func (c CallCounts) Writes() (count int) {
	return c.Put + c.Delete
}

// add increments the counter of method.
func (c *CallCounts) add(method Method) {
	switch method {
	case MethodGet:
		c.Get++
	case MethodPut:
		c.Put++
	case MethodDelete:
		c.Delete++
	case MethodList:
		c.List++
	case MethodWatch:
		c.Watch++
	case MethodInstances:
		c.Instances++
	}
}

// Calls returns the number of calls by this client, including failed calls.
func (p *Platform) Calls() (calls CallCounts) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	return p.callCounts
}

// TotalCalls returns the number of calls by all clients of the platform,
// including failed calls.
func (p *Platform) TotalCalls() (calls CallCounts) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	return p.shared.callCounts
}

// countCall counts a call for this client and for the platform.
func (p *Platform) countCall(method Method) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	p.callCounts.add(method)
	p.shared.callCounts.add(method)
}
