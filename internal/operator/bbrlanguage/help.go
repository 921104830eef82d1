package bbrlanguage

// Help is the description of the language that help prints.
const Help = `show KIND [where FIELD = VALUE [and ...]]
    KIND: instances, entries, pools, queues, services, teams,
          organisations, waves, permits, jobs, interference
    show instances where pool = press and state != serving
why instance NAME        the state of an instance, and what it waits for
why queue NAME           what a queue waits for
why job ID               progress of a job, and what its work units wait for
explain QUEUE [job ID] [organisation NAME] [file FILE]
                         where a job or request would go now, and why;
                         nothing is sent or stored
    explain q-press file job.json
    QUEUE: the name of a queue, or the host and path of a submission
    FILE: the body of a submission
drain NAME [for REASON]  take an instance out of service
    drain i-12 for "fan noise"
resume NAME              return a drained instance to service
reboot NAME              drain and reboot an instance
move NAME to POOL        drain and reboot an instance, and move it to another pool
set budget SERVICE N     instances of a service that may be unavailable at once
set quota TEAM N         requests of a team that an entry handles at once
set bound QUEUE N        requests that may wait in a queue at an entry
set timeout QUEUE TIME   timeout of requests that do not specify one, such as 30s
assign QUEUE to POOL     serve a queue by another pool
start wave NAME [on pool POOL]
halt wave NAME
resume wave NAME         continue a halted wave, ignoring its failures so far
declare gone ENTRY       state that an unreachable entry has stopped permanently`
