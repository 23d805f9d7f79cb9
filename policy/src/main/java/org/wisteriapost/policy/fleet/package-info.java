/**
 * The registered runners and entries of a site, how entries link to each other and to
 * agents, and which entries read the site's store on behalf of others.
 */
package org.wisteriapost.policy.fleet;
