package protocol

// System is the name of the system in transport.Identity. It prevents processes of other systems from connecting.
const System = "sprucelane"

// Process identifies one incarnation of a process.
type Process struct {
	Node string // name of the machine
	Role string // RoleGateway, RoleBatch or RoleControl
	Zone string
	IP   string
	// Incarnation of a gateway is generated at each start of its process. That of a batch process is generated when its
	// disk is empty and kept on the disk, because what matters about a batch process is the data that it has stored.
	Incarnation string
}

// The roles of processes.
const (
	RoleGateway = "gateway"
	RoleBatch   = "batch"
	RoleControl = "control"
)
