// Package duty runs the actors of a VM, one for each of its background duties. An actor has
// a bounded mailbox, which is a ring buffer, and handles one message at a time.
//
// In protoactor-go, sending to a full bounded mailbox busy-waits. This package therefore
// counts the messages in flight and sheds messages before they reach a full mailbox.
package duty

import (
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// Handler handles the messages of an actor. It is called by one goroutine at a time and
// must not block.
type Handler[M any] func(m M)

// System owns the actors of a process.
type System struct {
	actors *actor.ActorSystem
	events node.Events
	failed atomic.Int64
}

// NewSystem returns a system that logs to logger and records handler panics in events.
func NewSystem(logger *slog.Logger, events node.Events) *System {
	factory := func(*actor.ActorSystem) *slog.Logger { return logger }
	return &System{
		actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)),
		events: events,
	}
}

// Failed returns the number of handler panics since the start.
func (s *System) Failed() int64 {
	return s.failed.Load()
}

// Shutdown stops all actors. Messages sent afterwards are dropped.
func (s *System) Shutdown() {
	s.actors.Shutdown()
}

// Actor is a running actor that handles messages of type M.
type Actor[M any] struct {
	name     string
	system   *System
	pid      *actor.PID
	capacity int64
	inFlight atomic.Int64
	shed     atomic.Int64
}

// envelope wraps a message, to distinguish it from the library's lifecycle messages.
type envelope[M any] struct {
	message M
}

// Spawn starts an actor with a mailbox for capacity messages.
func Spawn[M any](s *System, name string, capacity int, handle Handler[M]) *Actor[M] {
	d := &Actor[M]{name: name, system: s, capacity: int64(capacity)}
	receive := func(c actor.Context) { d.receive(c, handle) }
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(capacity+lifecycleSlots)))
	d.pid = s.actors.Root.Spawn(props)
	return d
}

// lifecycleSlots is the extra room in the mailbox for the library's lifecycle messages.
const lifecycleSlots = 8

func (d *Actor[M]) receive(c actor.Context, handle Handler[M]) {
	e, ok := c.Message().(envelope[M])
	if !ok {
		return
	}
	defer d.inFlight.Add(-1)
	defer d.recordPanic()
	handle(e.message)
}

// recordPanic records a panic of the handler and passes it on to the library.
func (d *Actor[M]) recordPanic() {
	if r := recover(); r != nil {
		d.system.failed.Add(1)
		d.system.events.Record(event.DutyFailed, d.name, "a message handler panicked")
		panic(r)
	}
}

// Send sends m to the actor. It returns an error of kind Overloaded when the mailbox is
// full.
func (d *Actor[M]) Send(m M) error {
	if d.inFlight.Add(1) > d.capacity {
		d.inFlight.Add(-1)
		d.shed.Add(1)
		return fault.New(fault.Overloaded, "mailbox of %s is full", d.name)
	}
	d.system.actors.Root.Send(d.pid, envelope[M]{m})
	return nil
}

// Shed returns the number of messages that were dropped because the mailbox was full.
func (d *Actor[M]) Shed() int64 {
	return d.shed.Load()
}

// Stop stops the actor after it has handled the messages in its mailbox.
func (d *Actor[M]) Stop() {
	d.system.actors.Root.Poison(d.pid)
}
