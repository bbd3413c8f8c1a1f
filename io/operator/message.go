// Package operator speaks to operators by HTTP with a bearer token, as a server
// and as a client.
package operator

import (
	"fmt"
	"net/http"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
)

// Status is what one instance knows of groups, endpoints and instances.
type Status struct {
	Instance   core.Instance   `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Source tells where that configuration came from.
	Source   patch.Source `json:"source"`
	Draining bool         `json:"draining"`
	// Watching tells whether the instance watches the platform.
	Watching bool `json:"watching"`
	// Rank is the instance's rank for watching the platform; the second one
	// takes over when the first is silent.
	Rank      int             `json:"rank"`
	Groups    []GroupStatus   `json:"groups"`
	Instances []member.Member `json:"instances"`
}

// GroupStatus is one group as an instance sees it.
type GroupStatus struct {
	Group     core.Group       `json:"group"`
	Term      uint64           `json:"term"`
	Primary   core.Endpoint    `json:"primary"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is one endpoint as an instance sees it.
type EndpointStatus struct {
	Endpoint   core.Endpoint   `json:"endpoint"`
	DataCentre core.DataCentre `json:"data_centre"`
	Role       core.Role       `json:"role"`
	Leaving    bool            `json:"leaving"`
	// Applied is the last position that reads see.
	Applied uint64 `json:"applied"`
}

// Accepted answers a patch that is in.
type Accepted struct {
	// Version is the version that the patch made.
	Version uint64 `json:"version"`
}

// Configuration is a version of the configuration without its secrets.
type Configuration struct {
	Version uint64       `json:"version"`
	Config  patch.Config `json:"config"`
}

// History is what the platform's document tells of its versions.
type History struct {
	Version uint64 `json:"version"`
	// Lowest is the lowest version in Entries; older ones were trimmed.
	Lowest  uint64        `json:"lowest"`
	Trimmed uint64        `json:"trimmed"`
	Entries []patch.Entry `json:"entries"`
}

// Error is a refused request.
type Error struct {
	Code   core.Code `json:"code"`
	Reason string    `json:"reason"`
	// Faults are all that is wrong with a patch.
	Faults []patch.Fault `json:"faults,omitempty"`
	// Version and Since tell what changed since the base of a patch.
	Version uint64        `json:"version,omitempty"`
	Since   []patch.Entry `json:"since,omitempty"`
}

// Error returns the code and the reason.
func (f *Error) Error() string { return fmt.Sprintf("AT%d: %s", f.Code, f.Reason) }

// httpStatuses are the HTTP httpStatuses of the result codes.
var httpStatuses = map[core.Code]int{
	core.CodePatchConflict:     http.StatusConflict,
	core.CodePatchInvalid:      http.StatusUnprocessableEntity,
	core.CodePatchUnknown:      http.StatusGatewayTimeout,
	core.CodePlatformDown:      http.StatusServiceUnavailable,
	core.CodeOperatorForbidden: http.StatusUnauthorized,
	core.CodePatchTooLarge:     http.StatusRequestEntityTooLarge,
}
