// The shape of the operator's configuration. Definitions are open: fields that are not named here are kept and ignored.
// What concerns several items (references, shared keys, two routes of the same address) is checked by package configuration,
// on every replica.
package configuration

#Name: string & !=""

#Milliseconds: number & >0

#Count: int & >=0

#Integral: number & >=0

#Split: {
	backend!: #Name
	weight!:  number & >=0
	...
}

#Route: {
	name!:                  #Name
	hostname!:              #Name
	"path-prefix"!:         string & =~"^/(.*/)?$"
	"route-type"?:          #Name
	"timeout-ms"?:          #Milliseconds
	"target-latency-ms"?:   number & >=0
	"completion-target-ms"?: number & >=0
	"retention-s"?:         number & >=0
	"max-queued-tokens"?:   #Integral
	gap_aim_ms?:            number & >=0
	priority?:              number
	backend?:               string | null
	"traffic-split"?:       [...#Split] | null
	"max-attempts"?:        #Integral
	public?:                bool
	sticky?:                bool
	resumable?:             bool
	...
}

#Backend: {
	name!:         #Name
	"health-path"?: string
	"max-conns"?:  #Integral
	protocol?:     string
	tls?:          bool
	engine?: {
		slots?:       #Integral
		"kv-tokens"?: #Integral
		"kv-bytes"?:  #Integral
		"link-mbps"?: #Integral
		stride?:      #Integral
		models?: [...{name!: #Name, ...}]
		...
	} | null
	...
}

#Tenant: {
	name!:        #Name
	"api-keys"?:  [...#Name] | null
	priority?:    number
	"rate-per-s"?: #Integral
	burst?:       #Integral
	...
}

#Limits: {
	"max-header-bytes"?:  #Integral
	"max-body-bytes"?:    #Integral
	"header-timeout-ms"?: #Integral
	"idle-timeout-ms"?:   #Integral
	...
}

#Generation: number & >=1

#Document: {
	generation!: #Generation
	routes!: [...#Route]
	backends!: [...#Backend]
	tenants?: [...#Tenant]
	limits?: #Limits
	...
}

#Patch: {
	generation!: #Generation
	upsert?: {
		routes?: [...#Route]
		backends?: [...#Backend]
		tenants?: [...#Tenant]
		limits?: #Limits
		...
	}
	delete?: {[string]: [...string]}
	limits?: #Limits
	...
}
