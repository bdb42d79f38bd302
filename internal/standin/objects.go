// Package standin holds small stand-ins for what the fleet meets outside: the platform's object API and instance list,
// model engines and plain services. They serve tests, the demo and experiments, and inject faults at their interfaces.
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

// watchLimit is how long a watch waits before it ends without news.
const watchLimit = 10 * time.Second

// Faults decides what goes wrong with a call to the object API. The zero value lets all pass.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswer is asked after each write took effect; true loses its answer.
	LoseAnswer func(key string) bool
	// Cut is asked with the caller's name before each call; true makes the platform unreachable for it.
	Cut func(caller string) bool
}

// Calls counts calls to the object API since its start.
type Calls struct {
	Reads, Writes, Watches uint64
}

// Objects is the object API in memory. Link gives each caller its own objectstore.Store on it. It is safe for concurrent use.
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

// SetFaults replaces the faults in force and ends waiting watches.
func (o *Objects) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	o.wake()
}

// Faults returns the faults in force.
func (o *Objects) Faults() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Calls returns the calls counted so far.
func (o *Objects) Calls() Calls {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// OnPut lets f see every value that is written, in order.
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

// Link returns the object API as the named caller reaches it.
func (o *Objects) Link(caller string) *Link { return &Link{objects: o, caller: caller} }

func (o *Objects) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Link is one caller's way to the object API.
type Link struct {
	objects *Objects
	caller  string
}

var (
	_ objectstore.Store          = (*Link)(nil)
	_ objectstore.InstanceLister = (*Link)(nil)
)

// enter applies the faults that stop a call and counts it.
func (l *Link) enter(ctx context.Context, count *uint64) error {
	o := l.objects
	o.mu.Lock()
	f := o.faults
	down := f.Down || (f.Cut != nil && f.Cut(l.caller))
	if !down {
		*count++
	}
	o.mu.Unlock()
	if down {
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

// leave decides whether the answer to a write is lost.
func (l *Link) leave(key string) error {
	f := l.objects.Faults()
	if f.LoseAnswer != nil && f.LoseAnswer(key) {
		return objectstore.ErrAmbiguous
	}
	return nil
}

// Get implements objectstore.Store.
func (l *Link) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := l.enter(ctx, &l.objects.calls.Reads); err != nil {
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
func (l *Link) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	if err := l.enter(ctx, &l.objects.calls.Reads); err != nil {
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
func (l *Link) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if len(value) > objectstore.MaxValueBytes {
		return 0, objectstore.ErrTooLarge
	}
	if err := l.enter(ctx, &l.objects.calls.Writes); err != nil {
		return 0, err
	}
	version, err := l.objects.put(key, value, expected)
	if err != nil {
		return 0, err
	}
	return version, l.leave(key)
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
	o.wake()
	return o.version, nil
}

// Delete implements objectstore.Store.
func (l *Link) Delete(ctx context.Context, key string, expected objectstore.Version) error {
	if err := l.enter(ctx, &l.objects.calls.Writes); err != nil {
		return err
	}
	if err := l.objects.remove(key, expected); err != nil {
		return err
	}
	return l.leave(key)
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
	o.wake()
	return nil
}

// Watch implements objectstore.Store.
func (l *Link) Watch(ctx context.Context, key string, after objectstore.Version) (objectstore.Object, error) {
	if err := l.enter(ctx, &l.objects.calls.Watches); err != nil {
		return objectstore.Object{}, err
	}
	timer := time.NewTimer(watchLimit)
	defer timer.Stop()
	for {
		obj, changed, cut := l.look(key)
		if cut {
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

func (l *Link) look(key string) (objectstore.Object, <-chan struct{}, bool) {
	o := l.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	cut := o.faults.Down || (o.faults.Cut != nil && o.faults.Cut(l.caller))
	return o.objects[key], o.changed, cut
}

// Instances implements objectstore.InstanceLister.
func (l *Link) Instances(ctx context.Context) (*api.InstanceList, error) {
	if err := l.enter(ctx, &l.objects.calls.Reads); err != nil {
		return nil, err
	}
	l.objects.mu.Lock()
	defer l.objects.mu.Unlock()
	return l.objects.instances, nil
}
