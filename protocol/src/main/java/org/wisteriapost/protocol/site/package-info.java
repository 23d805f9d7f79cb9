/**
 * The interfaces through which wisteriapost uses a site: its object store, the request
 * and response headers of callers and runners, its engines and its settings. A site's
 * adapter implements these interfaces and contains no policy.
 */
package org.wisteriapost.protocol.site;
