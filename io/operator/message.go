// Package operator implements the operators' HTTP interface, which is protected by a
// bearer token, and its client.
package operator

import (
	"fmt"
	"net/http"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
)

// Status is the state of groups, endpoints and instances as one instance sees it.
type Status struct {
	Instance   core.Instance   `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Source is where that configuration came from.
	Source   patch.Source `json:"source"`
	Draining bool         `json:"draining"`
	// Watching is true if the instance watches the platform for changes.
	Watching bool `json:"watching"`
	// Rank is the instance's rank for watching the platform; the second instance takes
	// over if the first one is unreachable.
	Rank      int             `json:"rank"`
	Groups    []GroupStatus   `json:"groups"`
	Instances []member.Member `json:"instances"`
}

// GroupStatus is the state of a group as an instance sees it.
type GroupStatus struct {
	Group     core.Group       `json:"group"`
	Term      uint64           `json:"term"`
	Primary   core.Endpoint    `json:"primary"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is the state of an endpoint as an instance sees it.
type EndpointStatus struct {
	Endpoint   core.Endpoint   `json:"endpoint"`
	DataCentre core.DataCentre `json:"data_centre"`
	Role       core.Role       `json:"role"`
	Leaving    bool            `json:"leaving"`
	// Applied is the last position whose changes are visible to reads.
	Applied uint64 `json:"applied"`
}

// Accepted is the response to an accepted patch.
type Accepted struct {
	// Version is the version that the patch created.
	Version uint64 `json:"version"`
}

// Configuration is a version of the configuration, without secrets.
type Configuration struct {
	Version uint64       `json:"version"`
	Config  patch.Config `json:"config"`
}

// History lists the versions of the configuration in the platform's document.
type History struct {
	Version uint64 `json:"version"`
	// Lowest is the lowest version in the document; older ones were trimmed.
	Lowest  uint64        `json:"lowest"`
	Trimmed uint64        `json:"trimmed"`
	Entries []patch.Entry `json:"entries"`
}

// Error is the response to a rejected request.
type Error struct {
	Code   core.Code `json:"code"`
	Reason string    `json:"reason"`
	// Faults lists all problems of an invalid patch.
	Faults []patch.Fault `json:"faults,omitempty"`
	// Version is the current version and Since holds the entries after the base version
	// of the patch; both are set if the patch conflicts with those entries.
	Version uint64        `json:"version,omitempty"`
	Since   []patch.Entry `json:"since,omitempty"`
}

// Error returns the code and the reason.
func (e *Error) Error() string { return fmt.Sprintf("AT%d: %s", e.Code, e.Reason) }

// httpStatuses maps codes to HTTP statuses.
var httpStatuses = map[core.Code]int{
	core.CodePatchConflict:     http.StatusConflict,
	core.CodePatchInvalid:      http.StatusUnprocessableEntity,
	core.CodePatchUnknown:      http.StatusGatewayTimeout,
	core.CodePlatformDown:      http.StatusServiceUnavailable,
	core.CodeOperatorForbidden: http.StatusUnauthorized,
	core.CodePatchTooLarge:     http.StatusRequestEntityTooLarge,
}
