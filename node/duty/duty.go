// Package duty runs one actor for each duty of a VM. An actor has a bounded
// mailbox, which is a ring, and handles one message at a time.
//
// A full bounded mailbox of protoactor-go makes the sender spin, so this
// package counts the messages in flight and sheds a message before the mailbox.
package duty

import (
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// Handler handles the messages of a duty. It runs on one goroutine at a time
// and must not block.
type Handler[M any] func(m M)

// System owns the actors of a process.
type System struct {
	actors *actor.ActorSystem
	events node.Events
	failed atomic.Int64
}

// NewSystem returns a system that logs through logger and reports crashes to
// events.
func NewSystem(logger *slog.Logger, events node.Events) *System {
	factory := func(*actor.ActorSystem) *slog.Logger { return logger }
	return &System{
		actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)),
		events: events,
	}
}

// Failed returns the number of duties that crashed since the start.
func (s *System) Failed() int64 {
	return s.failed.Load()
}

// Shutdown stops all actors. Messages sent later are dropped.
func (s *System) Shutdown() {
	s.actors.Shutdown()
}

// Duty is a running actor that takes messages of type M.
type Duty[M any] struct {
	name     string
	system   *System
	pid      *actor.PID
	capacity int64
	inFlight atomic.Int64
	shed     atomic.Int64
}

type envelope[M any] struct {
	message M
}

// Spawn starts an actor with a mailbox of capacity messages.
func Spawn[M any](s *System, name string, capacity int, handle Handler[M]) *Duty[M] {
	d := &Duty[M]{name: name, system: s, capacity: int64(capacity)}
	receive := func(c actor.Context) { d.receive(c, handle) }
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(capacity+lifecycleSlots)))
	d.pid = s.actors.Root.Spawn(props)
	return d
}

// systemSlots leaves room in the ring for the actor's lifecycle messages.
const lifecycleSlots = 8

func (d *Duty[M]) receive(c actor.Context, handle Handler[M]) {
	e, ok := c.Message().(envelope[M])
	if !ok {
		return
	}
	defer d.inFlight.Add(-1)
	defer d.recordPanic()
	handle(e.message)
}

func (d *Duty[M]) recordPanic() {
	if r := recover(); r != nil {
		d.system.failed.Add(1)
		d.system.events.Record(event.DutyFailed, d.name, "a message handler panicked")
		panic(r)
	}
}

// Tell sends m. It returns an error of kind Overloaded when the mailbox is full.
func (d *Duty[M]) Tell(m M) error {
	if d.inFlight.Add(1) > d.capacity {
		d.inFlight.Add(-1)
		d.shed.Add(1)
		return fault.New(fault.Overloaded, "mailbox of %s is full", d.name)
	}
	d.system.actors.Root.Send(d.pid, envelope[M]{m})
	return nil
}

// Shed returns the number of messages dropped before the mailbox.
func (d *Duty[M]) Shed() int64 {
	return d.shed.Load()
}

// Stop ends the actor after the messages that are already in its mailbox.
func (d *Duty[M]) Stop() {
	d.system.actors.Root.Poison(d.pid)
}
