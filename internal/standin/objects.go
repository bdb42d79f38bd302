// Package standin implements small stand-ins for the systems outside of the fleet: the platform's object API and instance
// list, model engines and plain services. Tests, the demo and experiments use them and inject faults at their interfaces.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// watchTimeout is how long a watch waits for a change before it ends with ErrUnchanged.
const watchTimeout = 10 * time.Second

// Faults selects the faults that the object API injects. The zero value injects none.
type Faults struct {
	// Unavailable fails every call.
	Unavailable bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponse is called after each write has taken effect; if it returns true, the response is lost.
	LoseResponse func(key string) bool
	// Partitioned is called with the caller's name before each call and during watches; if it returns true, the platform is
	// unavailable to that caller.
	Partitioned func(caller string) bool
}

// Calls counts the calls to the object API since its creation.
type Calls struct {
	Reads, Writes, Watches uint64
}

// Objects is an in-memory object API. Client returns an objectstore.Store for each caller. It is safe for concurrent use.
type Objects struct {
	mu        sync.Mutex
	objects   map[string]objectstore.Object
	version   objectstore.Version
	changed   chan struct{}
	faults    Faults
	calls     Calls
	onPut     func(objectstore.Object)
	instances *api.InstanceList
}

// NewObjects returns an empty object API.
func NewObjects() *Objects {
	return &Objects{
		objects:   make(map[string]objectstore.Object),
		changed:   make(chan struct{}),
		instances: &api.InstanceList{},
	}
}

// SetFaults replaces the injected faults. Waiting watches apply the new ones at once.
func (o *Objects) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	o.notifyChange()
}

// Faults returns the injected faults.
func (o *Objects) Faults() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Calls returns the number of calls so far.
func (o *Objects) Calls() Calls {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// OnPut sets a function that is called with every written object, in the order of the writes.
func (o *Objects) OnPut(f func(objectstore.Object)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onPut = f
}

// SetInstances replaces the instance list.
func (o *Objects) SetInstances(l *api.InstanceList) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.instances = l
}

// Client returns the object API as seen by the named caller.
func (o *Objects) Client(caller string) *Client { return &Client{objects: o, caller: caller} }

func (o *Objects) notifyChange() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Client gives one caller access to the object API.
type Client struct {
	objects *Objects
	caller  string
}

var (
	_ objectstore.Store          = (*Client)(nil)
	_ objectstore.InstanceLister = (*Client)(nil)
)

// beginCall counts a call and applies the faults that delay or fail it before it takes effect. Calls that fail because the
// platform is unavailable are not counted.
func (l *Client) beginCall(ctx context.Context, counter *uint64) error {
	o := l.objects
	o.mu.Lock()
	f := o.faults
	unavailable := f.Unavailable || (f.Partitioned != nil && f.Partitioned(l.caller))
	if !unavailable {
		*counter++
	}
	o.mu.Unlock()
	if unavailable {
		return objectstore.ErrUnavailable
	}
	if f.Delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(f.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return objectstore.ErrUnavailable
	}
}

// endWrite applies the fault that loses the response to a write.
func (l *Client) endWrite(key string) error {
	f := l.objects.Faults()
	if f.LoseResponse != nil && f.LoseResponse(key) {
		return objectstore.ErrAmbiguous
	}
	return nil
}

// Get implements objectstore.Store.
func (l *Client) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := l.beginCall(ctx, &l.objects.calls.Reads); err != nil {
		return objectstore.Object{}, err
	}
	l.objects.mu.Lock()
	defer l.objects.mu.Unlock()
	obj, ok := l.objects.objects[key]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return obj, nil
}

// List implements objectstore.Store.
func (l *Client) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	if err := l.beginCall(ctx, &l.objects.calls.Reads); err != nil {
		return nil, err
	}
	l.objects.mu.Lock()
	defer l.objects.mu.Unlock()
	var out []objectstore.Object
	for key, obj := range l.objects.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// Put implements objectstore.Store.
func (l *Client) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if len(value) > objectstore.MaxValueBytes {
		return 0, objectstore.ErrTooLarge
	}
	if err := l.beginCall(ctx, &l.objects.calls.Writes); err != nil {
		return 0, err
	}
	version, err := l.objects.put(key, value, expected)
	if err != nil {
		return 0, err
	}
	return version, l.endWrite(key)
}

func (o *Objects) put(key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects[key].Version != expected {
		return 0, objectstore.ErrConflict
	}
	o.version++
	obj := objectstore.Object{Key: key, Version: o.version, Value: append([]byte(nil), value...)}
	o.objects[key] = obj
	if o.onPut != nil {
		o.onPut(obj)
	}
	o.notifyChange()
	return o.version, nil
}

// Delete implements objectstore.Store.
func (l *Client) Delete(ctx context.Context, key string, expected objectstore.Version) error {
	if err := l.beginCall(ctx, &l.objects.calls.Writes); err != nil {
		return err
	}
	if err := l.objects.remove(key, expected); err != nil {
		return err
	}
	return l.endWrite(key)
}

func (o *Objects) remove(key string, expected objectstore.Version) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.objects[key]
	if !ok {
		return objectstore.ErrNotFound
	}
	if obj.Version != expected {
		return objectstore.ErrConflict
	}
	delete(o.objects, key)
	o.version++
	o.notifyChange()
	return nil
}

// Watch implements objectstore.Store.
func (l *Client) Watch(ctx context.Context, key string, after objectstore.Version) (objectstore.Object, error) {
	if err := l.beginCall(ctx, &l.objects.calls.Watches); err != nil {
		return objectstore.Object{}, err
	}
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		obj, changed, unavailable := l.readObject(key)
		if unavailable {
			return objectstore.Object{}, objectstore.ErrUnavailable
		}
		if obj.Version > after {
			return obj, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return objectstore.Object{}, objectstore.ErrUnchanged
		case <-ctx.Done():
			return objectstore.Object{}, objectstore.ErrUnavailable
		}
	}
}

func (l *Client) readObject(key string) (objectstore.Object, <-chan struct{}, bool) {
	o := l.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	unavailable := o.faults.Unavailable || (o.faults.Partitioned != nil && o.faults.Partitioned(l.caller))
	return o.objects[key], o.changed, unavailable
}

// Instances implements objectstore.InstanceLister.
func (l *Client) Instances(ctx context.Context) (*api.InstanceList, error) {
	if err := l.beginCall(ctx, &l.objects.calls.Reads); err != nil {
		return nil, err
	}
	l.objects.mu.Lock()
	defer l.objects.mu.Unlock()
	return l.objects.instances, nil
}
