/**
 * What a site gives wisteriapost, in the product's own words: its object store, how
 * callers and runners write their requests and answers, its engines and its settings. A
 * site's adapter implements these interfaces and decides nothing.
 */
package org.wisteriapost.protocol.site;
