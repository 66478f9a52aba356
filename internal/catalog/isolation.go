package catalog

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// IsolationKey returns the isolation key of a workspace's requests: requests with the same
// key may share KV cache. An isolated workspace has a key of its own; all others have one in
// common. ws may be nil.
func (c *Catalog) IsolationKey(ws *Workspace) string {
	if ws != nil && ws.Isolated {
		return "own-" + string(ws.Name)
	}
	if c.isolated == "" {
		return "shared"
	}
	return "shared-" + strconv.FormatUint(xxh3.HashString(c.isolated), 36)
}
