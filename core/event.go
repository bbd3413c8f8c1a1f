package core

// Event is the number of a log event; docs/EVENTS.md lists them all.
type Event int

// The log events.
const (
	EventStarted       Event = 100
	EventStopped       Event = 101
	EventService       Event = 102
	EventListening     Event = 103
	EventDraining      Event = 104
	EventCut           Event = 105
	EventTraffic       Event = 106
	EventConfig        Event = 200
	EventConfigSource  Event = 201
	EventConfigBehind  Event = 202
	EventPrimary       Event = 300
	EventSampleFailed  Event = 301
	EventFailoverBegun Event = 302
	EventFailover      Event = 303
	EventVoters        Event = 304
	EventSessionError  Event = 401
	EventRefused       Event = 402
	EventKeyDenied     Event = 403
	EventLimit         Event = 404
	EventLimitOwner    Event = 405
	EventMessage       Event = 406
	EventSetup         Event = 407
	EventStore         Event = 500
	EventMembers       Event = 501
	EventEndpoint      Event = 502
	EventTurn          Event = 503
	EventIsolated      Event = 504
	EventRelay         Event = 505
	EventRestored      Event = 506
	EventHomes         Event = 507
)
