package platform

// Method names one kind of call to the platform.
type Method string

// The methods that are counted.
const (
	MethodGet       Method = "get"
	MethodPut       Method = "put"
	MethodDelete    Method = "delete"
	MethodList      Method = "list"
	MethodWatch     Method = "watch"
	MethodInstances Method = "instances"
)

// Calls counts calls by method. A waiting watch counts as one call.
type Calls struct {
	Get       int `json:"get"`
	Put       int `json:"put"`
	Delete    int `json:"delete"`
	List      int `json:"list"`
	Watch     int `json:"watch"`
	Instances int `json:"instances"`
}

// Reads returns the calls that change nothing.
func (c Calls) Reads() (calls int) {
	return c.Get + c.List + c.Watch + c.Instances
}

// Writes returns the calls that may change an object.
func (c Calls) Writes() (calls int) {
	return c.Put + c.Delete
}

// add counts one call.
func (c *Calls) add(method Method) {
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

// Calls returns what this view has called so far, failed calls included.
func (p *Platform) Calls() (calls Calls) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	return p.calls
}

// TotalCalls returns what all views have called so far.
func (p *Platform) TotalCalls() (calls Calls) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	return p.shared.calls
}

// count adds one call of this view.
func (p *Platform) count(method Method) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	p.calls.add(method)
	p.shared.calls.add(method)
}
