// Package partition injects network partitions into processes under test, in one direction or both.
//
// A file lists the partitioned links, one per line: the sending host and the receiving host. A test writes the
// file, every process of the system polls it (see [Watch]), and the partitions apply to connections that are
// opened with a [Dialer]. The dialing side applies them to both directions of its connections, so that the
// accepting side needs no changes.
//
// Traffic over a partitioned link behaves like TCP over a network that loses every packet without notifying
// either side:
//
//   - Bytes wait until the link heals, like segments that are retransmitted. Bytes that were written before the
//     partition and not yet read are held back too.
//   - A connection whose bytes have waited for [UserTimeout] ends with ETIMEDOUT, as with TCP_USER_TIMEOUT.
//     The other end sees that only when the link has healed.
//   - The other end sees a close only when the link has healed.
//   - No connection can be opened while one of its two links is partitioned.
//
// Only programs that are built with the tag faultinjection are linked with this package. They read the path of
// the file and their own host from the environment variables [EnvFile] and [EnvHost].
package partition
